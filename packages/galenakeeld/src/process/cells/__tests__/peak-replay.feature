Feature: Cells that share capacity serve a peak as well as one queue for all endpoints

  Guards against load lost by deciding in each zone instead of in one queue. The bound is the noise of the users' benchmark.

  Scenario Outline: Four zones at <load>
    Given a load in waves, whose peak is <peak> times its mean
    When it is replayed with seeds "<seeds>" on cells of four zones, and on one cell of all endpoints
    Then the cells of four zones serve at most 0.03 less of it
    And each queue is served at least half as well as the whole

    Examples:
      | load              | peak  | seeds   |
      | the usual peak    | 1.4   | 1, 2, 3 |
      | a high peak       | 1.9   | 1, 2, 3 |
      | twice the capacity | 2.3  | 1, 2, 3 |
