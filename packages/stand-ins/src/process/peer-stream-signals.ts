/** Environment variable with the address at which a daemon receives the streams of its peers. */
export const peersVariable = 'GALENAKEEL_TRIAL_PEERS';

/** Resets the open streams from peers. */
export const resetSignal = 'SIGWINCH';

/** Silences the open streams from peers. */
export const silenceSignal = 'SIGURG';
