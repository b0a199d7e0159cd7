Feature: A new configuration is in force at each daemon within the bound, whatever the size of the fleet

  # Guards against changes that come into force late (CONFIG): what made up for a missed change grew with the fleet.
  Scenario Outline: <daemons> daemons install a version in time although the store of <share> of them <fault>
    Given <daemons> daemons in <zones> zones with <owners> owners each, on links that carry a configuration in 300 ms
    And <share> of them have a store that <fault>
    When version 2 is acknowledged 2500 ms after the start
    Then all daemons have version 2 within <bound> ms

    Examples:
      | daemons | zones | owners | share | fault                                      | bound |
      | 9       | 4     | 1      | 0.0   | serves them                                | 2000  |
      | 9       | 4     | 1      | 0.9   | does not tell their watches of the change  | 2000  |
      | 9       | 4     | 1      | 1.0   | does not tell their watches of the change  | 2000  |
      | 9       | 4     | 1      | 0.35  | turns them away                            | 2000  |
      | 9       | 4     | 1      | 1.0   | answers their reads from 3 s before        | 5000  |
      | 97      | 6     | 3      | 0.0   | serves them                                | 2000  |
      | 97      | 6     | 3      | 0.9   | does not tell their watches of the change  | 2000  |
      | 97      | 6     | 3      | 1.0   | does not tell their watches of the change  | 2000  |
      | 97      | 6     | 3      | 0.35  | turns them away                            | 2000  |
      | 97      | 6     | 3      | 1.0   | answers their reads from 3 s before        | 5000  |
      | 500     | 13    | 8      | 0.0   | serves them                                | 2000  |
      | 500     | 13    | 8      | 0.9   | does not tell their watches of the change  | 2000  |
      | 500     | 13    | 8      | 1.0   | does not tell their watches of the change  | 2000  |
      | 500     | 13    | 8      | 0.35  | turns them away                            | 2000  |
      | 500     | 13    | 8      | 1.0   | answers their reads from 3 s before        | 5000  |

  # Guards against configurations that crowd out heartbeats and orders: daemons sent them to peers that had installed them.
  Scenario: Daemons that the store serves send each other no configuration
    Given 97 daemons in 6 zones with 3 owners each, on links that carry a configuration in 300 ms
    And 0.0 of them have a store that serves them
    When version 2 is acknowledged 2500 ms after the start
    Then all daemons have version 2 within 5000 ms
    And no configuration was sent from daemon to daemon
