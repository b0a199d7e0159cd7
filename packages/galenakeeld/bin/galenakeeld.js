#!/usr/bin/env node
// This file exists before the build, since npm links a binary only if its file is there.
await import('../dist/process/main.js');
