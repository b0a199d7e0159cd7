Feature: Pauses of the process

  Scenario: A daemon whose event loop is always behind still checks its peers
    Given a timer whose gaps count as pauses from 500 ms
    When it ticks at "50, 700, 1400, 2100, 2150" ms
    Then the gaps are "none, pause, pause after a pause, pause after a pause, none after a pause"
