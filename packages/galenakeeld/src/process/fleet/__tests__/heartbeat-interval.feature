Feature: Heartbeats are frequent only between daemons that must detect each other's failure quickly

  Scenario Outline: <self> to <peer>
    Then a daemon that is "<self>" sends heartbeats to one that is "<peer>" at the "<interval>" interval

    Examples:
      | self                  | peer                  | interval |
      | in north and an owner | in north              | short    |
      | in north and an owner | in north and an owner | short    |
      | in north              | in north and an owner | long     |
      | in north              | in north              | long     |
      | in north and an owner | in south and an owner | medium   |
      | in north              | in south and an owner | long     |
      | in north and an owner | in south              | long     |
      | in north              | in south              | long     |
      | in north              | unknown               | short    |

  Scenario: A holder and the owner to which its jobs are assigned detect each other's failure quickly
    Then a daemon that is "in north", with jobs at one that is "in south and an owner", sends heartbeats to it at the "medium" interval
    And a daemon that is "in north", with jobs at one that is "in north and an owner", sends heartbeats to it at the "medium" interval
    And a daemon that is "in south and an owner" sends heartbeats at the "medium" interval to one that is "in north" and needs to detect its loss after 1200 ms
    And a daemon that is "in north", with a roll call of its zone, sends heartbeats to one that is "in north" at the "short" interval
    And a daemon that is "in south and an owner" sends heartbeats at the "long" interval to one that is "in north" and needs to detect its loss after 4500 ms

  Scenario: An owner that was heard seldom is lost soon after a job is assigned to it, unless it is heard
    Given a view with heartbeats of "far" that expire after 6000 ms and of "other" that expire after 6000 ms
    When 1000 ms pass without heartbeats
    And "far, other" are expected within 700 ms
    And 600 ms pass without heartbeats
    And "other" sends a keep-alive that expires after 700 ms
    And 200 ms pass without heartbeats
    Then the view loses "far"
    When 600 ms pass without heartbeats
    Then the view loses "other"

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
    Then a daemon of 4 zones with 70 daemons each, which owns no cell, sends at most 150 heartbeats a second
    And the daemons of 6 zones with 16 daemons and 3 owners each send at most 3600 heartbeats a second in all
