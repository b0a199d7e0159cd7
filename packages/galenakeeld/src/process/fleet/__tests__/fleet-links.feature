Feature: Streams between daemons

  Scenario: Only the streams to peers whose heartbeats have stopped are broken off
    Given links to the peers "s1, s2" that lose a peer after 700 ms without heartbeats
    And heartbeats of "s1, s2" at 0 ms
    And heartbeats of "s2" at 600 ms
    When silent peers are removed at 800 ms
    Then the streams to "s1" were broken off
    And the peers "s1" were lost as "silent"

  Scenario: A peer is dialled at once when its first heartbeat arrives
    Given links to the peers "s1, s2" that lose a peer after 700 ms without heartbeats
    And heartbeats of "s1" at 0 ms
    Then the streams to "s1" were dialled at once

  Scenario: Heartbeats whose description a peer knows are short
    Given links to the peers "s1" that lose a peer after 700 ms without heartbeats
    When the stream to "s1" opens and 3 heartbeats are due
    Then "s1" was sent "heartbeat, keep-alive, keep-alive"
    When the description changes and 2 heartbeats are due
    Then "s1" was sent "heartbeat, keep-alive"
    When the stream to "s1" opens and 2 heartbeats are due
    Then "s1" was sent "heartbeat, keep-alive"
    When 30000 ms pass and 2 heartbeats are due
    Then "s1" was sent "heartbeat, keep-alive"

  Scenario: A peer that was lost is reachable again with its next keep-alive
    Given links to the peers "s1" that lose a peer after 700 ms without heartbeats
    And heartbeats of "s1" at 0 ms
    And keep-alives of "s1" at 600 ms
    When silent peers are removed at 1200 ms
    Then the peers "" were lost as "silent"
    When silent peers are removed at 1400 ms
    Then the peers "s1" were lost as "silent"
    Given keep-alives of "s1" at 1500 ms
    Then the peers "s1, s1" became reachable

  Scenario: A peer that needs heartbeats more often gets the next one early
    Given links to the peers "s1" that lose a peer after 6000 ms without heartbeats
    And heartbeats of "s1" at 0 ms
    And keep-alives of "s1" at 600 ms
    Then the interval of the stream to "s1" was reviewed 0 times
    Given keep-alives of "s1" at 700 ms that need heartbeats within 700 ms
    And keep-alives of "s1" at 900 ms that need heartbeats within 700 ms
    Then the interval of the stream to "s1" was reviewed 1 times

  Scenario: A stream that has gone silent towards a peer that is heard is broken off
    Given links to the peers "s1" that lose a peer after 700 ms without heartbeats
    When frames are exchanged each 200 ms until 2000 ms
    Then no stream was broken off
    When frames are exchanged each 200 ms until 4000 ms, of which the peers receive none after 2000 ms
    Then the stream to "s1" was broken off once

  Scenario: A stream with infrequent heartbeats is not taken for a silent one
    Given links to the peers "s1" that lose a peer after 4500 ms without heartbeats
    When frames are exchanged each 3000 ms until 30000 ms
    Then no stream was broken off

  Scenario: A stream to a peer of an earlier version, which confirms nothing, is kept
    Given links to the peers "s1" that lose a peer after 700 ms without heartbeats
    When frames are exchanged each 200 ms until 10000 ms, and the peers tell nothing of what they receive
    Then no stream was broken off

  Scenario: A pause of this daemon is not taken for a silent stream
    Given links to the peers "s1" that lose a peer after 700 ms without heartbeats
    When frames are exchanged each 200 ms until 2000 ms
    And the process stands still until 5000 ms, and frames arrive that were sent before
    And frames are exchanged each 200 ms until 8000 ms
    Then no stream was broken off
