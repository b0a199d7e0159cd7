import type {Violation} from '../request/check-history.js';
import type {History} from '../request/history.js';
import type {Random} from '../request/random.js';

/**
Injects faults while callers send requests, and records what the callers and endpoints observe.

@returns Violations that can't be derived from the recorded history, such as an exceeded time limit.
*/
export type FaultHistory = (history: History, random: Random) => Promise<readonly Violation[]>;
