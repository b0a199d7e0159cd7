Feature: Membership, leaving endpoints and documents only move forward

  Background:
    Given a paused clock
    And the membership of "entry-1" with 3 missed heartbeats of 500 ms

  Scenario: A peer is unreachable after three silent intervals
    When "entry-2" sends a heartbeat of its run "b1" as "serving"
    And 1400 ms pass with sweeps
    Then the slots are shared by "entry-1, entry-2"
    When 200 ms pass with sweeps
    Then the slots are shared by "entry-1"

  Scenario: A pause of this process does not count as silence of a peer
    When "entry-2" sends a heartbeat of its run "b1" as "serving"
    And the process is paused for 30000 ms
    Then the slots are shared by "entry-1, entry-2"
    When 1600 ms pass with sweeps
    Then the slots are shared by "entry-1"

  Scenario: A late heartbeat of an earlier run does not replace the later run
    When "entry-2" sends a heartbeat of its run "b2" as "serving"
    And "entry-2" sends a heartbeat of its run "b1" as "leaving"
    Then "entry-2" is known in its run "b2" as "serving"
    When 1600 ms pass with sweeps
    And "entry-2" sends a heartbeat of its run "b1" as "serving"
    Then "entry-2" is known in its run "b1" as "serving"

  Scenario: An instance that is leaving keeps its slots until it yields them
    When "entry-2" sends a heartbeat of its run "b1" as "leaving"
    Then the slots are shared by "entry-1, entry-2"
    When this instance yields its slots
    Then the slots are shared by "entry-2"

  Scenario: The latest state of a run is kept in any order of heartbeats
    Then no order of a run's heartbeats reverts it from "leaving"

  Scenario: A leaving endpoint stays closed in any order of lists and peers' marks
    Then no order of updates opens an endpoint that any of them shows as leaving

  Scenario: Another run at the address of a leaving endpoint gets tasks
    When the list shows "10.0.0.1:80" in its run "1" as "leaving"
    Then "10.0.0.1:80" gets no tasks
    When the list shows "10.0.0.1:80" in its run "2" as "live"
    Then "10.0.0.1:80" gets tasks
    When the list shows "10.0.0.1:80" in its run "1" as "leaving"
    And a peer reports that "10.0.0.1:80/1" is leaving
    Then "10.0.0.1:80" gets tasks
    When a peer reports that "10.0.0.1:80/3" is leaving
    Then "10.0.0.1:80" gets no tasks

  Scenario: A mark of a run that was never listed expires when no peer repeats it
    When the list shows "10.0.0.1:80" in its run "2" as "live"
    And a peer reports that "10.0.0.1:80/1" is leaving
    Then "10.0.0.1:80" gets no tasks
    And no mark is passed on
    When 11000 ms pass with sweeps
    Then "10.0.0.1:80" gets tasks

  Scenario: The highest versions are in force after any order of installs
    Then no order of installs leaves an older document or catalogue in force
