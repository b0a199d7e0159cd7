Feature: The calculations of the bench

  Scenario: Arrivals follow from the seed alone
    When arrivals are drawn twice with seed 7 and once with seed 8
    Then the two draws with seed 7 are equal
    And the draw with seed 8 differs
    And the arrivals are ordered by time and reach every daemon

  Scenario: The ideal starts tasks in order on the fastest free slot
    Given slots of speed "1, 2"
    When tasks arrive at "0, 0, 10, 300" ms that run "200, 200, 100, 100" ms
    # The first takes the fast slot until 100 and the second the slow one until 200; the third waits for the fast one, from 100 to 150.
    Then the ideal answers them after "100, 200, 140, 50" ms

  Scenario: Responses are compared task by task
    Given responses of "110, 210, 600" ms where the ideal gives "100, 200, 300" ms
    Then the median over the ideal is 1.1 and the 99th percentile is 2
