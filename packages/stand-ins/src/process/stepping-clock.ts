/**
Steps the time of day of the process that preloads it: each SIGUSR2 alternately sets `Date.now` 2 s ahead and back again. The monotonic clock is unaffected.

@example
```
spawn(process.execPath, ['--import', steppingClock, daemonProgram, settingsPath]);
```
*/
import process from 'node:process';

const stepMilliseconds = 2000;
const readClock = Date.now.bind(Date);
let offset = 0;

Date.now = () => readClock() + offset;
process.on('SIGUSR2', () => {
	offset = offset === 0 ? stepMilliseconds : 0;
});
