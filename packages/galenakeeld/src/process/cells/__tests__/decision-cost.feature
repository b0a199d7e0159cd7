Feature: The cost of a decision in a cell stays bounded as jobs pile up

  Guards against the collapse of an owner that falls behind: the more jobs wait, the longer each decision takes, and the further it falls behind.

  Scenario Outline: Tasks that fit nowhere are not compared with each endpoint
    Given 60 endpoints, too full for another task
    When <steps> steps of 8 tasks wait
    Then no task is placed
    And each step was compared with the capacity at most 4 times

    Examples:
      | steps |
      | 10    |
      | 1000  |

  Scenario Outline: Tasks that would be late on every free endpoint are not compared with each of them
    Given 60 endpoints, free but too slow
    When <steps> steps of 8 tasks wait
    Then no task is placed
    And each step was compared with the capacity at most 4 times

    Examples:
      | steps |
      | 10    |
      | 1000  |

  Scenario: The slot that is free first is found without comparing all slots
    Given a heap of 1000 numbers with seed 7
    When the first number is replaced 500 times
    Then each was the smallest number, and each replacement took at most 20 comparisons

  Scenario: Behind many waiting jobs an arriving job is refused at once, without a look at each of their tasks
    Given a full cell at which 1000 jobs wait that can't be refused
    When another job arrives
    Then it is refused without a prediction
    When another job arrives that can't be refused
    Then it is accepted without a prediction
