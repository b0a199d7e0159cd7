Feature: Each cell has one owner

  Scenario: The first daemon of a zone claims its cell, the others don't
    Given the daemons
      | address | zone  | started | claims |
      | n1      | north | 1       |        |
      | n2      | north | 2       |        |
    Then "n1" is to "claim" the cell "north"
    And "n2" is to "keep" the cell "north"

  Scenario: The largest machine of a zone claims its cell
    Given the daemons
      | address | zone  | started | processor | claims |
      | n1      | north | 1       | 243       |        |
      | n2      | north | 3       | 1350      |        |
      | n3      | north | 2       | 810       |        |
    Then "n2" is to "claim" the cell "north"
    And "n1" is to "keep" the cell "north"
    And "n3" is to "keep" the cell "north"

  Scenario: A large machine that starts later takes nothing over
    Given the daemons
      | address | zone  | started | processor | claims  |
      | n1      | north | 1       | 243       | north=7 |
      | n2      | north | 3       | 1350      |         |
    Then "n2" is to "keep" the cell "north"
    And the owner of "north" is "n1"

  Scenario: A daemon that starts or comes back takes nothing over
    Given the daemons
      | address | zone  | started | claims  |
      | n1      | north | 1       |         |
      | n2      | north | 2       | north=7 |
    Then "n1" is to "keep" the cell "north"
    And the owner of "north" is "n2"

  Scenario: Of two claims the one with the higher token has precedence
    Given the daemons
      | address | zone  | started | claims  |
      | n1      | north | 1       | north=5 |
      | n2      | north | 2       | north=7 |
    Then "n1" is to "yield" the cell "north"
    And "n2" is to "keep" the cell "north"

  Scenario: A claim of the zone's own daemon has precedence over one of another zone, whatever the tokens
    Given the daemons
      | address | zone  | started | claims  |
      | n1      | north | 1       | north=5 |
      | s1      | south | 2       | north=7 |
    Then the owner of "north" is "n1"
    And "s1" is to "yield" the cell "north"

  Scenario: A daemon of the zone takes over from one of another zone
    Given the daemons
      | address | zone  | started | claims  |
      | n1      | north | 3       |         |
      | s1      | south | 2       | north=7 |
    Then "n1" is to "claim" the cell "north"

  Scenario: Without daemons of the zone another zone's daemon owns its cell
    Given the daemons
      | address | zone  | started | claims  |
      | s1      | south | 1       | south=3 |
      | s2      | south | 2       |         |
    Then "s2" is to "claim" the cell "north"
    And "s1" is to "keep" the cell "north"

  Scenario: A leaving daemon is replaced before its process ends
    Given the daemons
      | address | zone  | started | claims  | leaving |
      | n1      | north | 1       | north=5 | yes     |
      | n2      | north | 2       |         |         |
    Then "n2" is to "claim" the cell "north"
    And "n1" is to "keep" the cell "north"

  Scenario: The only daemon of a zone transfers its cell to another zone's daemon once when it leaves
    Given the daemons
      | address | zone  | started | claims  | leaving |
      | n1      | north | 1       | north=5 | yes     |
      | s1      | south | 2       | north=7 |         |
    Then the owner of "north" is "s1"
    And "s1" is to "keep" the cell "north"
    And "n1" is to "yield" the cell "north"

  Scenario: The cells of a zone are distributed at once, by the processor that each daemon has for each of its cells
    Given the daemons
      | address | zone  | started | processor | claims |
      | n1      | north | 1       | 243       |        |
      | n2      | north | 2       | 1350      |        |
      | n3      | north | 3       | 810       |        |
      | n4      | north | 4       | 1350      |        |
    Then of the cells "north/0, north/1, north/2" the daemons claim
      | n2 | north/0 |
      | n4 | north/1 |
      | n3 | north/2 |
      | n1 |         |

  Scenario: A cell without an owner goes to a large machine with a cell rather than to a small one without
    Given the daemons
      | address | zone  | started | processor | claims    |
      | n1      | north | 1       | 243       |           |
      | n2      | north | 2       | 1350      | north/0=7 |
    Then "n2" is to "claim" the cell "north/1"
    And "n2" is to "keep" the cell "north/0"
    And "n1" is to "keep" the cell "north/1"

  Scenario: An owner hands a cell over to a daemon with twice the processor for it
    Given the daemons
      | address | zone  | started | processor | claims               |
      | n1      | north | 1       | 1350      | north/0=7, north/1=8 |
      | n2      | north | 2       | 1350      |                      |
      | n3      | north | 3       | 810       |                      |
    Then "n1" is to "release" the cell "north/1"
    And "n2" is to "keep" the cell "north/1"

  Scenario: An owner keeps its cells while no daemon has twice the processor for one
    Given the daemons
      | address | zone  | started | processor | claims               |
      | n1      | north | 1       | 1350      | north/0=7, north/1=8 |
      | n2      | north | 2       | 810       |                      |
      | n3      | north | 3       | 243       |                      |
    Then "n1" is to "keep" the cell "north/0"
    And "n1" is to "keep" the cell "north/1"

  Scenario: A claim of a part of a zone has precedence over one of another zone
    Given the daemons
      | address | zone  | started | claims    |
      | n1      | north | 1       | north/1=5 |
      | s1      | south | 2       | north/1=7 |
    Then the owner of "north/1" is "n1"

  Scenario Outline: A cell whose owner is unreachable is taken over only when that is safe
    Then after an owner that "<loss>" for <age> ms, a daemon "<place>" that "<peers>" and "<reach>" "<may>" take over

    Examples:
      | loss       | age  | place               | peers        | reach                        | may     |
      | has ended  | 0    | of the zone         | has peers    | reaches the endpoints        | may     |
      | was silent | 0    | of the zone         | has peers    | doesn't reach the endpoints  | may     |
      | was silent | 0    | of the zone         | has no peers | reaches the endpoints        | may not |
      | was silent | 9000 | of the zone         | has no peers | reaches the endpoints        | may not |
      | has ended  | 0    | of another zone     | has peers    | reaches the endpoints        | may     |
      | has ended  | 0    | of another zone     | has peers    | doesn't reach the endpoints  | may not |
      | was silent | 500  | of another zone     | has peers    | reaches the endpoints        | may not |
      | was silent | 3000 | of another zone     | has peers    | reaches the endpoints        | may     |
      | has ended  | 0    | of another zone     | has no peers | reaches the endpoints        | may not |
      | has ended  | 5000 | of another zone     | has peers    | has just come to reach them  | may not |
      | was silent | 5000 | of another zone     | has peers    | has just come to reach them  | may not |
