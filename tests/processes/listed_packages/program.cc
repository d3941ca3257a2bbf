#include <lua5.4/lua.h>

int main() { return static_cast<int>(lua_version(nullptr)) == LUA_VERSION_NUM ? 0 : 1; }
