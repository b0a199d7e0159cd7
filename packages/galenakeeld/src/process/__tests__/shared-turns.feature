Feature: Data shared by all instances is read by one instance at a time

  Scenario Outline: Instances that can reach each other take turns
    Given <instances> connected instances with slots of 500 ms and rounds of at most <round> ms
    When slots of 60000 ms in total pass
    Then together they read in every slot
    And each reads every <apart> ms

    Examples:
      | instances | round | apart |
      | 1         | 10000 | 500   |
      | 9         | 10000 | 4500  |
      | 9         | 2000  | 2000  |
      | 195       | 10000 | 10000 |

  Scenario: An instance that can reach no other reads in every slot
    Given 6 connected instances with slots of 500 ms and rounds of at most 10000 ms
    When slots of 6000 ms in total pass
    And instance 3 is isolated
    And slots of 6000 ms in total pass
    Then the instance that is isolated read in every slot since then
    And the others read in every slot since then
