Feature: Daemons of a small site stand still again and again

  Scenario: The freezes of a day file
    Given the text of a day file:
      """
      name = "day"
      length_s = 92
      faults = [
        { at = 2.0, kind = "node_freeze", share = 0.1, for_s = 0.9 },
        { at = 3.1, kind = "node_slow", share = 0.1, for_s = 0.9 },
        { at = 4.2, kind = "node_freeze", share = 0.2, for_s = 3.0 },
      ]
      """
    Then the day lasts 92 s, with freezes of "900, 3000" ms at "2000, 4200" ms

  Scenario: The slow daemons of a day file
    Given the text of a day file:
      """
      length_s = 44
      faults = [
        { at = 2.0, kind = "node_slow", share = 0.4, x = 6.0, for_s = 12.0 },
        { at = 3.0, kind = "give_up", share = 0.8, for_s = 30.0 },
        { at = 28.0, kind = "node_slow", share = 0.5, x = 8.0, for_s = 10.0 },
      ]
      """
    Then 0.4 of the daemons are 6 times slower from 2000 ms on for 12000 ms
    And 0.5 of the daemons are 8 times slower from 28000 ms on for 10000 ms

  # Guards against TWICE, REFUSED and MIXED on days of freezes, which showed with real processes only.
  Scenario Outline: No task runs twice, no refused job runs, and no job is complete before its tasks
    When a daemon of the site "<site>" stands still for <milliseconds> ms every <gap> ms, for 15 s, with seed <seed>
    Then the day broke no promise

    Examples:
      | site        | milliseconds | gap  | seed |
      | four-zones  | 900          | 2200 | 1    |
      | three-zones | 3000         | 3600 | 1    |

  # Guards against TWICE: runs of a caller whose end of connection the daemon doesn't read, while its job, sent again to another zone, runs there.
  Scenario: No task runs twice when callers leave unheard and daemons are slow
    When callers of the site "four-zones" wait for 200 ms, and half of them leave unheard
    And 0.4 of its daemons are 6 times slower for 8 s of a day of 15 s, with seed 1
    Then the day broke no promise
