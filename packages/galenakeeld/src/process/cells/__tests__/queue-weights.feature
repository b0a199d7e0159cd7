Feature: Queues count alike, however much work each of them offers

  Background:
    Given weights of queues on a paused clock

  Scenario: A queue alone weighs 1
    When 5 jobs of 100 arrive in the queue "quotes"
    Then the weight of "quotes" is 1

  Scenario: A queue that was never met weighs 1
    Then the weight of "quotes" is 1

  Scenario: Work of a queue that offers less counts for more
    When 10 jobs of 100 arrive in the queue "lookups"
    And 5 jobs of 100 arrive in the queue "quotes"
    Then the weight of "lookups" is 0.75
    And the weight of "quotes" is 1.5

  Scenario: Weights are bounded
    When 1000 jobs of 100 arrive in the queue "lookups"
    And 1 jobs of 100 arrive in the queue "quotes"
    Then the weight of "lookups" is 0.5005
    And the weight of "quotes" is 2

  Scenario: Old arrivals fade
    When 10 jobs of 100 arrive in the queue "lookups"
    And the clock of the weights runs 80000 ms
    And 5 jobs of 100 arrive in the queue "lookups"
    And 5 jobs of 100 arrive in the queue "quotes"
    Then the weight of "lookups" is 1
