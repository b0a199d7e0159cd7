// Compiles all functions of the daemon and stores the code. Runs with the flags with which the daemon is started, since code is only valid for the same ones.
import {readFileSync, writeFileSync} from 'node:fs';
import {setFlagsFromString} from 'node:v8';
import {Script} from 'node:vm';

setFlagsFromString('--no-lazy');
const script = new Script(readFileSync('target/daemon.cjs', 'utf8'));
setFlagsFromString('--lazy');
writeFileSync('target/daemon.cache', script.createCachedData());
