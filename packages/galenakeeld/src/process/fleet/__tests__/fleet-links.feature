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
