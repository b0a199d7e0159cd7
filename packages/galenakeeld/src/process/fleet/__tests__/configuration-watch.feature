Feature: The daemons of a fleet read the configuration in turn

  # Guards against changes that come into force late (CONFIG): daemons that start together know of no others at their first read, and would read together from then on.
  Scenario: A daemon that starts with others reads again at a random time of the interval of them all
    Given a daemon that learns after 500 ms that it is one of 97, and whose random number is 0.5
    When 7700 ms pass for the watch
    Then the configuration was read 1 times
    When 100 ms pass for the watch
    Then the configuration was read 2 times
    When 15400 ms pass for the watch
    Then the configuration was read 2 times
    When 200 ms pass for the watch
    Then the configuration was read 3 times

  Scenario: Daemons whose waits end because the history is gone read again at a random time of the interval
    Given a daemon that learns after 0 ms that it is one of 97, and whose random number is 0.25
    When 100 ms pass for the watch
    And the history of the store is dropped
    And 3800 ms pass for the watch
    Then the configuration was read 2 times
    When 2000 ms pass for the watch
    Then the configuration was read 3 times
