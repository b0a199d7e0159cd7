#!/usr/bin/env node
// Committed so that it exists before the build: npm links a binary only if its file is present.
await import('../dist/process/main.js');
