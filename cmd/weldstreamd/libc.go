package main

import "C" // The platform's programs are linked to the C library; nothing of it is called here.
