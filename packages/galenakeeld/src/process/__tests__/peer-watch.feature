Feature: Silent peers are detected within two seconds, and late peers are not taken for silent

  Background:
    Given a watch of "entry-1" over "entry-2, entry-3, entry-4", with heartbeats every 800 ms

  Scenario: A frozen peer is probed, then every peer, and loses its slots within 2 s
    When nothing is received from "entry-3" for 1100 ms
    Then the probes are "entry-3 answer"
    When nothing is received from "entry-3" for 350 ms
    Then the probes are "entry-2 alarm, entry-3 alarm, entry-4 alarm"
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"
    When nothing is received from "entry-3" for 400 ms
    Then the slots belong to "entry-1, entry-2, entry-4"

  Scenario: All instances of a disconnected zone lose their slots at the same time
    When nothing is received from "entry-3, entry-4" for 1850 ms
    Then the slots belong to "entry-1, entry-2"

  Scenario: A peer that answers late keeps its slots and causes no suspicion probe
    When nothing is received from "entry-3" for 1300 ms
    And "entry-3" sends a heartbeat again
    And 3000 ms pass in which all send heartbeats
    Then the probes are "entry-3 answer"
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"

  Scenario: A call counts as a heartbeat
    When "entry-3" only calls every 800 ms for 5000 ms
    Then the probes are ""
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"

  Scenario: An ended stream costs a peer its slots only when it sends no further heartbeat
    When the stream of "entry-3" ends
    And 300 ms pass in which all send heartbeats
    And "entry-3" sends a heartbeat again
    And 500 ms pass in which all send heartbeats
    Then the slots belong to "entry-1, entry-2, entry-3, entry-4"
    When the stream of "entry-3" ends
    And nothing is received from "entry-3" for 300 ms
    Then the slots belong to "entry-1, entry-2, entry-3, entry-4"
    When nothing is received from "entry-3" for 100 ms
    Then the slots belong to "entry-1, entry-2, entry-4"

  Scenario: Repeated failed dials of a peer do not delay the loss of its slots
    When the stream of "entry-3" ends
    And nothing is received from "entry-3" for 200 ms
    And the stream of "entry-3" ends
    And nothing is received from "entry-3" for 200 ms
    Then the slots belong to "entry-1, entry-2, entry-4"

  Scenario: A suspicion probe from a peer makes this instance probe every peer
    When "entry-2" sends a suspicion probe
    Then the probes are "entry-2 answer, entry-3 answer, entry-4 answer"
    When nothing is received from "entry-4" for 400 ms
    Then the slots belong to "entry-1, entry-2, entry-3"

  Scenario: A pause of this process does not count as silence
    When this process is paused for 10000 ms
    And 2000 ms pass in which all send heartbeats
    Then the probes are ""
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"

  Scenario: Among any silent instances, at least one is watched by an instance that is not silent
    Then every set of silent instances includes one with a watcher that is not silent
