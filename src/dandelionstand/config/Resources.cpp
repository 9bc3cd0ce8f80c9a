#include "dandelionstand/config/Resources.h"
