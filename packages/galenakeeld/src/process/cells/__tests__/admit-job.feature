Feature: A job is taken, sent to another cell or refused when it arrives

  Scenario: With free room a job is taken
    Given 4 lanes, free in 0 ms
    When a job of 2 tasks of 100 ms arrives, due in 200 ms
    Then it is taken

  Scenario: A job that can be in time behind what waits is taken
    Given 2 lanes, free in 20 ms
    And a job of 2 tasks of 50 ms waits, due in 150 ms
    When a job of 2 tasks of 100 ms arrives, due in 400 ms
    Then it is taken

  Scenario: At the crest, a job that would be worthless is refused at once
    Given 2 lanes, free in 900 ms
    And a job of 4 tasks of 100 ms waits, due in 1300 ms
    When a job of 2 tasks of 50 ms arrives, due in 140 ms
    Then it is refused

  Scenario: At the crest, a job that would make those that wait late is refused
    Given 2 lanes, free in 0 ms
    And a job of 2 tasks of 100 ms waits, due in 130 ms
    And a job of 2 tasks of 100 ms waits, due in 230 ms
    And a job of 2 tasks of 100 ms waits, due in 330 ms
    And a job of 2 tasks of 100 ms waits, due in 430 ms
    When a job of 2 tasks of 100 ms arrives, due in 120 ms
    Then it is refused

  Scenario: A job takes the place of one that waits, when that one loses less
    Given 2 lanes, free in 0 ms
    And 4 jobs of 2 tasks of 100 ms wait, due in 420 ms
    When a job of 2 tasks of 100 ms arrives, due in 150 ms
    Then it is taken

  Scenario: When another zone's crest is over, a job goes there
    Given 2 lanes, free in 300 ms
    And the cell "south" has 9000 thousandths free
    When a job of 2 tasks of 100 ms arrives, due in 200 ms
    Then it is sent to "south"

  Scenario: On a calm day a job stays in its zone
    Given 4 lanes, free in 3 ms
    And the cell "south" has 9000 thousandths free
    When a job of 2 tasks of 100 ms arrives, due in 220 ms
    Then it is taken

  Scenario: A job that costs too much here goes where there is room, rather than being refused
    Given 2 lanes, free in 900 ms
    And a job of 4 tasks of 100 ms waits, due in 1300 ms
    And the cell "south" has 9000 thousandths free and 200 ms of work waiting
    When a job of 2 tasks of 50 ms arrives, due in 140 ms
    Then it is sent to "south"

  Scenario: A job is sent on once only
    Given 2 lanes, free in 300 ms
    And the cell "south" has 9000 thousandths free
    When a redirected job of 2 tasks of 100 ms arrives, due in 200 ms
    Then it is taken

  Scenario: An answer is worth less the later it comes
    Then an answer due in 100 ms and worthless in 300 ms is worth over 0.95 at 20 ms, about 0.6 at 100 ms, about 0.2 at 250 ms and 0 at 301 ms
