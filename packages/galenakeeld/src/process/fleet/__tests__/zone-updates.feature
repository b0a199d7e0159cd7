Feature: Owners tell their peers the endpoints of a zone and the loads of cells

  Background:
    Given a daemon that owns the cell "north", and the peers
      | address | zone  | owns  |
      | n2      | north |       |
      | s1      | south | south |

  Scenario: The daemons of the zone are told its endpoints, once
    Given the zone "north" has the endpoints "i-1, i-2"
    When the lists are announced
    And the lists are announced
    Then the endpoints were sent to "n2"

  Scenario: A change is told again
    Given the zone "north" has the endpoints "i-1, i-2"
    When the lists are announced
    And the zone "north" has the endpoints "i-1"
    And the lists are announced
    Then the endpoints were sent to "n2, n2"

  Scenario: Before the first list nothing is told
    When the lists are announced
    And the peer "n2" is greeted
    Then the endpoints were sent to ""

  Scenario: A daemon of the zone that is heard anew is told at once
    Given the zone "north" has the endpoints "i-1, i-2"
    When the peer "n2" is greeted
    And the peer "s1" is greeted
    Then the endpoints were sent to "n2"

  Scenario: Loads go to the owners of other cells when they change
    Given 3000 thousandths are free
    When the loads are announced
    And the loads are announced
    And 2000 thousandths are free
    And the loads are announced in 5 turns
    Then the loads were sent to "s1, s1"
