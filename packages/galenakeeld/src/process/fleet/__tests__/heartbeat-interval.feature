Feature: Heartbeats are frequent only between daemons that must detect each other's failure quickly

  Scenario Outline: <self> to <peer>
    Then a daemon that is "<self>" sends heartbeats to one that is "<peer>" at the "<interval>" interval

    Examples:
      | self                  | peer                  | interval |
      | in north              | in north and an owner | short    |
      | in north and an owner | in north              | short    |
      | in north              | in north              | medium   |
      | in north              | in south and an owner | short    |
      | in north and an owner | in south              | short    |
      | in north              | in south              | long     |
      | in north              | unknown               | short    |

  Scenario: A peer is lost after the time without heartbeats that its last one announced
    Given a view with heartbeats of "far" that expire after 2500 ms and of "near" that expire after 700 ms
    When 800 ms pass without heartbeats
    Then the view loses "near"
    When 1600 ms pass without heartbeats
    Then the view loses ""
    When 200 ms pass without heartbeats
    Then the view loses "far"

  Scenario: A pause of the daemon itself doesn't count as silence of its peers
    Given a view with heartbeats of "far" that expire after 2500 ms and of "near" that expire after 700 ms
    When the daemon is paused for 1400 ms
    Then the view loses ""
    When 800 ms pass without heartbeats
    Then the view loses "near"

  Scenario: Heartbeat traffic doesn't grow with the square of the fleet size
    Then a daemon of 4 zones with 70 daemons each, which owns no cell, sends at most 700 heartbeats a second
