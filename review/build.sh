#!/bin/sh
# The stand-ins are Python programs that use the standard library alone, so there is nothing to build.
exec true
