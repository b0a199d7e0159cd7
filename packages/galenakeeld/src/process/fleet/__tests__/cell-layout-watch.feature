Feature: The first daemon of a zone decides into how many cells it is divided

  Scenario: The number is stored once the list of endpoints no longer changes
    Given the zones "north" have the endpoints
      | north | 10 | 40 | 91 | 91 | 91 |
    When the layout is watched for 2000 ms
    Then the store has 3 cells for "north"
    And the cells are "north/0, north/1, north/2"

  Scenario: A stored number stays, whatever the endpoints
    Given the zones "north" have the endpoints
      | north | 61 | 61 | 61 |
    And the store has 2 cells for "north" already
    When the layout is watched for 2000 ms
    Then the cells are "north/0, north/1"

  Scenario: Another daemon that stores a number first decides
    Given the zones "north" have the endpoints
      | north | 61 | 61 | 61 |
    And another daemon stores 2 cells for "north" just before this one
    When the layout is watched for 2000 ms
    Then the cells are "north/0, north/1"

  Scenario: A daemon that starts while the store is unavailable learns the numbers from a peer
    Given the zones "north" have the endpoints
      | north | 61 |
    And the store is unavailable
    When a peer says that "north" has 3 cells
    Then the cells are "north/0, north/1, north/2"

  Scenario: The zone of other daemons is left to them at first
    Given the zones "north, south" have the endpoints
      | north | 8 |
      | south | 8 |
    When the layout is watched for 2000 ms
    Then the cells are "north"
    When the layout is watched for 8000 ms
    Then the cells are "north, south"

  Scenario: A zone without endpoints stays undivided
    Given the zones "north" have the endpoints
      | north | 0 |
    When the layout is watched for 30000 ms
    Then the cells are ""
