package main

import "C" // Links the program to the C library, as the platform requires; no C function is called.
