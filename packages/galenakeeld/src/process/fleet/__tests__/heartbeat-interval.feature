Feature: Beats are frequent only between daemons that need to know of each other's loss at once

  Scenario Outline: <self> to <peer>
    Then a daemon that is "<self>" sends beats to one that is "<peer>" at the "<pace>" pace

    Examples:
      | self                  | peer                  | pace |
      | in north              | in north              | near |
      | in north              | in south              | far  |
      | in north              | in south and an owner | near |
      | in north and an owner | in south              | near |
      | in north              | unheard               | near |

  Scenario: A peer is lost after the silence that its last beat promised at most
    Given a view that has heard "far" with a silence of 2500 ms and "near" with one of 700 ms
    When 800 ms of silence pass
    Then the view loses "near"
    When 1600 ms of silence pass
    Then the view loses ""
    When 200 ms of silence pass
    Then the view loses "far"

  Scenario: Messages of a daemon don't grow with the square of the fleet
    Then a daemon of 4 zones with 70 daemons each, which owns no cell, sends at most 700 beats a second
