Feature: Owners send the endpoints of a zone and the loads of cells to their peers

  Background:
    Given a daemon that owns the cell "north", and the peers
      | address | zone  | owns  |
      | n2      | north |       |
      | s1      | south | south |

  Scenario: The endpoints are sent once to the daemons of the zone
    Given the zone "north" has the endpoints "i-1, i-2"
    When the lists are announced
    And the lists are announced
    Then the endpoints were sent to "n2"

  Scenario: A changed list is sent again
    Given the zone "north" has the endpoints "i-1, i-2"
    When the lists are announced
    And the zone "north" has the endpoints "i-1"
    And the lists are announced
    Then the endpoints were sent to "n2, n2"

  Scenario: Nothing is sent before the first list
    When the lists are announced
    And the peer "n2" is synchronized
    Then the endpoints were sent to ""

  Scenario: The endpoints are sent at once to a daemon of the zone that becomes reachable
    Given the zone "north" has the endpoints "i-1, i-2"
    When the peer "n2" is synchronized
    And the peer "s1" is synchronized
    Then the endpoints were sent to "n2"

  Scenario: Changed loads are sent to the owners of other cells
    Given 3000 thousandths are free
    And the owner "s1" is short of capacity
    When the loads are announced
    And the loads are announced
    And 2000 thousandths are free
    And the loads are announced in 5 turns
    Then the loads were sent to "s1, s1"
