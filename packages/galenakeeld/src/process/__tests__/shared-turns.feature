Feature: What all instances share is read by one of them at a time

  Scenario Outline: Instances that reach each other take turns
    Given <instances> instances that reach each other, with slots of 500 ms and rounds of at most <round> ms
    When slots of 60000 ms in all pass
    Then together they read in every slot
    And each reads every <apart> ms

    Examples:
      | instances | round | apart |
      | 1         | 10000 | 500   |
      | 9         | 10000 | 4500  |
      | 9         | 2000  | 2000  |
      | 195       | 10000 | 10000 |

  Scenario: An instance that reaches nobody reads in every slot
    Given 6 instances that reach each other, with slots of 500 ms and rounds of at most 10000 ms
    When slots of 6000 ms in all pass
    And instance 3 is cut off
    And slots of 6000 ms in all pass
    Then the instance that is cut off read in every slot since then
    And the others read in every slot since then
