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

  # Guards against TWICE, REFUSED and MIXED on days of freezes, which showed with real processes only.
  Scenario Outline: No task runs twice, no refused job runs, and no job is complete before its tasks
    When a daemon of the site "<site>" stands still for <milliseconds> ms every <gap> ms, for 15 s, with seed <seed>
    Then the day broke no promise

    Examples:
      | site        | milliseconds | gap  | seed |
      | four-zones  | 900          | 2200 | 1    |
      | three-zones | 3000         | 3600 | 1    |
