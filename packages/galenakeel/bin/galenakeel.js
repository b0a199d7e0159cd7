#!/usr/bin/env node
// Checked in, not built: npm links a binary only if its file exists at install time, which is before the build.
await import('../dist/process/main.js');
