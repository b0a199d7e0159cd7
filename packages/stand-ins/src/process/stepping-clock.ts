/**
Loaded before a daemon, steps its time of day: by two seconds ahead at each first SIGUSR2, and back at each second one. Steady time goes on.

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
