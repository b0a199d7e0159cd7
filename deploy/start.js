// Starts the daemon from the code that the build has compiled. Code of another runtime, or for other flags of it, is compiled anew.
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';
import {Script} from 'node:vm';

const pathOf = name => fileURLToPath(new URL(name, import.meta.url));

const filename = pathOf('daemon.cjs');
const script = new Script(readFileSync(filename, 'utf8'), {filename, cachedData: readFileSync(pathOf('daemon.cache'))});
script.runInThisContext()(createRequire(import.meta.url));
