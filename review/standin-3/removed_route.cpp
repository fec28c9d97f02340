#include "scene.h"
namespace review { int PlayRemovedRoute(Scene&) { return 2; } }
