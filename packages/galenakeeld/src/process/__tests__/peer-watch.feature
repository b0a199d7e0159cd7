Feature: Silent peers are found within two seconds, and late ones are not taken for silent

  Background:
    Given a watch of "entry-1" over "entry-2, entry-3, entry-4", heard every 800 ms

  Scenario: A frozen peer is probed, then every peer, and loses its slots within 2 s
    When nothing of "entry-3" is heard for 1100 ms
    Then the probes are "entry-3 answer"
    When nothing of "entry-3" is heard for 350 ms
    Then the probes are "entry-2 alarm, entry-3 alarm, entry-4 alarm"
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"
    When nothing of "entry-3" is heard for 400 ms
    Then the slots belong to "entry-1, entry-2, entry-4"

  Scenario: Every instance of a cut zone loses its slots with the first one
    When nothing of "entry-3, entry-4" is heard for 1850 ms
    Then the slots belong to "entry-1, entry-2"

  Scenario: A peer that answers late keeps its slots and raises no alarm
    When nothing of "entry-3" is heard for 1300 ms
    And "entry-3" is heard again
    And 3000 ms pass in which all are heard
    Then the probes are "entry-3 answer"
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"

  Scenario: A call counts as a heartbeat
    When "entry-3" only calls every 800 ms for 5000 ms
    Then the probes are ""
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"

  Scenario: An ended stream costs a peer its slots only when it is not heard again
    When the stream of "entry-3" ends
    And 300 ms pass in which all are heard
    And "entry-3" is heard again
    And 500 ms pass in which all are heard
    Then the slots belong to "entry-1, entry-2, entry-3, entry-4"
    When the stream of "entry-3" ends
    And nothing of "entry-3" is heard for 300 ms
    Then the slots belong to "entry-1, entry-2, entry-3, entry-4"
    When nothing of "entry-3" is heard for 100 ms
    Then the slots belong to "entry-1, entry-2, entry-4"

  Scenario: An alarm of a peer has every peer probed
    When "entry-2" raises an alarm
    Then the probes are "entry-2 answer, entry-3 answer, entry-4 answer"
    When nothing of "entry-4" is heard for 400 ms
    Then the slots belong to "entry-1, entry-2, entry-3"

  Scenario: A pause of this process is not taken for silence
    When this process is paused for 10000 ms
    And 2000 ms pass in which all are heard
    Then the probes are ""
    And the slots belong to "entry-1, entry-2, entry-3, entry-4"

  Scenario: Whichever instances fall silent, one of the others watches one of them
    Then no set of silent instances goes unwatched
