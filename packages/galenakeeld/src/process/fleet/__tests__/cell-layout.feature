Feature: A zone with many endpoints is divided into cells

  Scenario Outline: The number of cells grows with the endpoints
    Then a zone with <endpoints> endpoints is divided into <cells> cells

    Examples:
      | endpoints | cells |
      | 0         | 1     |
      | 11        | 1     |
      | 44        | 1     |
      | 45        | 2     |
      | 63        | 2     |
      | 246       | 8     |

  Scenario: An undivided zone is one cell of its name
    Then the cells of "north" in 1 parts are "north"
    And the cells of "north" in 3 parts are "north/0, north/1, north/2"
    And the zone of the cell "north" is "north"
    And the zone of the cell "north/2" is "north"

  Scenario: The endpoints of a rack are in one cell, and the racks of a zone are spread evenly
    Given a zone in 3 parts with 8 racks of 8 endpoints
    Then each rack is in one cell
    And the cells have "3, 3, 2" racks

  Scenario: An endpoint of a zone whose number of cells is unknown is in no cell
    Then an endpoint of an unknown zone is in no cell

  Scenario: A job goes to the cell with the rack of its data
    Given a zone in 3 parts with 8 racks of 8 endpoints
    Then a job that prefers the rack "r1-4" goes to the cell of that rack
    And a job that prefers the rack "r9-1", which the zone doesn't have, goes to a cell of the zone

  Scenario: Jobs go to cells in proportion to their endpoints, and the same job always to the same cell
    Given the cells "north/0" with 20 endpoints and "north/1" with 60
    Then of 10000 jobs between 2300 and 2700 go to "north/0"
    And a job that is repeated goes to the same cell
