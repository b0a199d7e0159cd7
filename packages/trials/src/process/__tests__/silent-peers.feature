Feature: Daemons that die, freeze or are cut off lose their slots within two seconds

  Background:
    Given a proxied fleet of 3 zones with 2 daemons each, all of which hear each other

  Scenario: A killed daemon
    When daemon 6 is sent "SIGKILL"
    Then within 2000 ms the daemons "1, 2, 3, 4, 5" reach just each other

  Scenario: A frozen daemon
    When daemon 6 is sent "SIGSTOP"
    Then within 2000 ms the daemons "1, 2, 3, 4, 5" reach just each other
    When daemon 6 is sent "SIGCONT"
    Then within 2000 ms the daemons "1, 2, 3, 4, 5, 6" reach just each other

  Scenario: A zone that is cut off
    When the zone of daemons 3 and 6 is cut off
    Then within 2000 ms the daemons "1, 2, 4, 5" reach just each other
    And within 2000 ms the daemons "3, 6" reach just each other
