Feature: Ownership of slots

  Scenario: Shares are even and every slot has one owner
    Given 30 endpoints of 8 slots in one zone, owned by 6 instances
    Then each instance owns 40 slots
    And every slot has one owner

  Scenario: Few slots move besides those of an instance that leaves
    Given 30 endpoints of 8 slots in one zone, owned by 6 instances
    When instance 6 leaves
    Then each instance owns 48 slots
    And at most 35% of the slots move to another instance
