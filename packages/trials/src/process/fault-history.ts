import type {Violation} from '../request/check-history.js';
import type {History} from '../request/history.js';
import type {Random} from '../request/random.js';

/**
Brings about a fault while callers work, and records what happened.

@returns Violations that the history alone does not show, such as a missed time limit.
*/
export type FaultHistory = (history: History, random: Random) => Promise<readonly Violation[]>;
