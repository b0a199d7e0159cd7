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

  Scenario: Responses are compared in multiples of the run time
    Given tasks that run "100, 100, 50" ms, with responses of "110, 200, 150" ms where the ideal gives "100, 100, 75" ms
    # In multiples of the run time: 1.1, 2 and 3 where the ideal gives 1, 1 and 1.5.
    Then the median over the ideal is 2 and the 99th percentile is 2
