Feature: Waiting tasks are placed on free capacity

  Background:
    Given endpoints
      | name  | processor | free | factor | labels |
      | quick | 2000      | 2000 | 1      | a,r1   |
      | slow  | 2000      | 2000 | 2      | b,r2   |

  Scenario: While capacity is plentiful, the fastest endpoint is preferred
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms
    Then it goes to "quick"

  Scenario: While capacity is scarce, a short task that is not urgent leaves the fast endpoint to longer ones
    Given "quick" has 500 thousandths free
    And "slow" has 500 thousandths free
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms
    And a task of 600 ms and 500 thousandths waits, due in 1000 ms
    Then they go to "slow, quick"

  Scenario: A task that would be late on the only free endpoint waits for a faster one
    Given "quick" has 0 thousandths free
    When a task of 600 ms and 500 thousandths waits, due in 1000 ms
    Then it goes to "nowhere"

  Scenario: A task that is late anyway takes the slowest free endpoint
    When a late task of 600 ms and 500 thousandths waits, due in 100 ms
    Then it goes to "slow"

  Scenario: A task that fits nowhere does not block those behind it
    Given "quick" has 800 thousandths free
    And "slow" has 0 thousandths free
    When a task of 100 ms and 1500 thousandths waits, due in 1000 ms
    And a task of 100 ms and 500 thousandths waits, due in 1000 ms
    Then they go to "nowhere, quick"

  Scenario: A task avoids the endpoint where it failed
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms, that failed at "quick"
    Then it goes to "slow"

  Scenario: A task that failed everywhere is tried again
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms, that failed at "quick, slow"
    Then it goes to "quick"

  Scenario: A required label is respected
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms, that requires the label "b"
    Then it goes to "slow"

  Scenario: Data on a rack makes the other racks slower
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms, whose data is on the rack "r2"
    Then it goes to "slow"

  Scenario: No more tasks of a step than allowed go to one endpoint
    When 4 tasks of a step of 100 ms and 100 thousandths wait, at most 1 on one endpoint
    Then they go to "quick, slow, nowhere, nowhere"

  Scenario: An endpoint that is being probed gets one task
    Given "quick" takes at most 1 task
    And "slow" takes at most 0 tasks
    When 2 tasks of a step of 100 ms and 100 thousandths wait, at most 9 on one endpoint
    Then they go to "quick, nowhere"

  Scenario: Among equally fast endpoints a task goes to the fullest, so that a large one still fits elsewhere
    Given "slow" is as fast as "quick"
    And "quick" has 1900 thousandths free
    And "slow" has 600 thousandths free
    When a task of 100 ms and 500 thousandths waits, due in 1000 ms
    And a task of 100 ms and 1800 thousandths waits, due in 1000 ms
    Then they go to "slow, quick"

  Scenario: No placement exceeds the free capacity
    Then in 1000 random loads with seed 7 no endpoint exceeds its capacity, and no task is placed twice, where it may not run or under a lease that is too long for it
