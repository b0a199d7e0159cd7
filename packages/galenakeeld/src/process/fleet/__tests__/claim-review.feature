Feature: Claims are reviewed after each change, and seldom otherwise

  Background:
    Given a daemon that reviews its claims each 50 ms if that is due

  Scenario: Without changes, the claims are reviewed each 250 ms
    When 1000 ms pass without a change
    Then the claims were reviewed 4 times

  Scenario: A change of the peers is reviewed at the next time
    When 1000 ms pass with a new heartbeat every 50 ms
    Then the claims were reviewed 20 times

  Scenario: A cell whose endpoints accept another daemon is taken back after heartbeats have had time to show that daemon
    When endpoints of "north" accept another daemon
    And 350 ms pass without a change
    Then "" was taken back or released
    When 100 ms pass without a change
    Then "north" was taken back or released
