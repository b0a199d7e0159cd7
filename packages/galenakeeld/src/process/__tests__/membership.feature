Feature: Membership, leaving endpoints and documents only move forward

  Background:
    Given a paused clock
    And the membership of "entry-1" with 3 missed heartbeats of 500 ms

  Scenario: A peer is unreachable after three silent intervals
    When "entry-2" is heard in its run "b1" as "serving"
    And 1400 ms pass with sweeps
    Then the slots are shared by "entry-1, entry-2"
    When 200 ms pass with sweeps
    Then the slots are shared by "entry-1"

  Scenario: A pause of this process is not taken for the silence of a peer
    When "entry-2" is heard in its run "b1" as "serving"
    And the process is paused for 30000 ms
    Then the slots are shared by "entry-1, entry-2"
    When 1600 ms pass with sweeps
    Then the slots are shared by "entry-1"

  Scenario: A late heartbeat of an earlier run does not replace the later run
    When "entry-2" is heard in its run "b2" as "serving"
    And "entry-2" is heard in its run "b1" as "leaving"
    Then "entry-2" is known in its run "b2" as "serving"
    When 1600 ms pass with sweeps
    And "entry-2" is heard in its run "b1" as "serving"
    Then "entry-2" is known in its run "b1" as "serving"

  Scenario: An instance that is leaving keeps its slots until it yields them
    When "entry-2" is heard in its run "b1" as "leaving"
    Then the slots are shared by "entry-1, entry-2"
    When this instance yields its slots
    Then the slots are shared by "entry-2"

  Scenario: Whatever the order of heartbeats, the last state of a run stays
    Then no order of a run's heartbeats takes it back from "leaving"

  Scenario: Whatever the order of lists and peers' marks, a leaving endpoint stays closed
    Then no order of news opens an endpoint that any of it shows as leaving

  Scenario: Another run at the address of a leaving endpoint gets work
    When the list shows "10.0.0.1:80" in its run "1" as "leaving"
    Then "10.0.0.1:80" gets no work
    When the list shows "10.0.0.1:80" in its run "2" as "live"
    Then "10.0.0.1:80" gets work
    When the list shows "10.0.0.1:80" in its run "1" as "leaving"
    And a peer says that "10.0.0.1:80/1" is leaving
    Then "10.0.0.1:80" gets work
    When a peer says that "10.0.0.1:80/3" is leaving
    Then "10.0.0.1:80" gets no work

  Scenario: A mark of a run that the list never showed lapses when no peer repeats it
    When the list shows "10.0.0.1:80" in its run "2" as "live"
    And a peer says that "10.0.0.1:80/1" is leaving
    Then "10.0.0.1:80" gets no work
    And no mark is passed on
    When 11000 ms pass with sweeps
    Then "10.0.0.1:80" gets work

  Scenario: Whatever the order of installs, the highest versions are in force
    Then no order of installs leaves an older document or catalogue in force
