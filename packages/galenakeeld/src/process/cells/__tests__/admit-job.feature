Feature: A job is accepted, redirected or refused when it arrives

  Scenario: With free capacity a job is accepted
    Given 4 slots, free in 0 ms
    When a job of 2 tasks of 100 ms arrives, due in 200 ms
    Then it is accepted

  Scenario: A job that can be in time behind the waiting jobs is accepted
    Given 2 slots, free in 20 ms
    And a job of 2 tasks of 50 ms waits, due in 150 ms
    When a job of 2 tasks of 100 ms arrives, due in 400 ms
    Then it is accepted

  Scenario: At the peak, a job that would expire is refused at once
    Given 2 slots, free in 900 ms
    And a job of 4 tasks of 100 ms waits, due in 1300 ms
    When a job of 2 tasks of 50 ms arrives, due in 140 ms
    Then it is refused

  Scenario: At the peak, a job that would make the waiting jobs late is refused
    Given 2 slots, free in 0 ms
    And a job of 2 tasks of 100 ms waits, due in 130 ms
    And a job of 2 tasks of 100 ms waits, due in 230 ms
    And a job of 2 tasks of 100 ms waits, due in 330 ms
    And a job of 2 tasks of 100 ms waits, due in 430 ms
    When a job of 2 tasks of 100 ms arrives, due in 120 ms
    Then it is refused

  Scenario: A job goes ahead of a waiting one that loses less
    Given 2 slots, free in 0 ms
    And 4 jobs of 2 tasks of 100 ms wait, due in 420 ms
    When a job of 2 tasks of 100 ms arrives, due in 150 ms
    Then it is accepted

  Scenario: When the peak of another zone is over, a job is redirected there
    Given 2 slots, free in 300 ms
    And the cell "south" has 9000 thousandths free
    When a job of 2 tasks of 100 ms arrives, due in 200 ms
    Then it is redirected to "south"

  Scenario: Under low load a job stays in its zone
    Given 4 slots, free in 3 ms
    And the cell "south" has 9000 thousandths free
    When a job of 2 tasks of 100 ms arrives, due in 220 ms
    Then it is accepted

  Scenario: A job that costs too much here is redirected to free capacity instead of refused
    Given 2 slots, free in 900 ms
    And a job of 4 tasks of 100 ms waits, due in 1300 ms
    And the cell "south" has 9000 thousandths free and 200 ms of work waiting
    When a job of 2 tasks of 50 ms arrives, due in 140 ms
    Then it is redirected to "south"

  Scenario: A job is redirected only once
    Given 2 slots, free in 300 ms
    And the cell "south" has 9000 thousandths free
    When a redirected job of 2 tasks of 100 ms arrives, due in 200 ms
    Then it is accepted

  Scenario: The value of an answer falls the later it arrives
    Then an answer due in 100 ms and expired in 300 ms has a value over 0.95 at 20 ms, about 0.6 at 100 ms, about 0.2 at 250 ms and 0 at 301 ms
