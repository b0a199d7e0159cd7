Feature: Holders and owners keep the rules while streams break, daemons stand still and owners change

  Scenario: Conversations under seeded disruptions keep MIXED, REFUSED and TWICE, and each job is answered
    When the conversations of the seeds 30 to 70 are held
    Then no rule was broken
    And tasks were moved, refused and run by the owners of several cells

  Scenario: A job whose caller left while its holder stood still does not run beside its next submission
    When the conversations of the seeds 1110 to 1110 are held
    Then no rule was broken

  # Guards against TWICE: a daemon that was behind extended the runs of a caller that had left, or never read that it had, and the caller's next submission started in another zone.
  Scenario Outline: A job doesn't run beside its next submission in another zone while daemons <delay> and the ends of callers arrive <end>
    When the conversations of the seeds <first> to <last> are held, with callers that return while daemons <delay> and whose ends arrive <end>
    Then no rule was broken

    Examples:
      | delay       | end           | first | last |
      | are slow    | promptly      | 15    | 24   |
      | are slow    | late or never | 31    | 42   |
      | stand still | late or never | 1     | 10   |

  # Guards against TWICE: the wait of a caller was counted from when its request arrived, although it had been on its way for long.
  Scenario: A job doesn't run beside its next submission in another zone while requests and the ends of callers are held up
    When the conversations of the seeds 1 to 45 are held, with callers that return while daemons are slow and whose ends arrive late or never, as do their requests
    Then no rule was broken

  # Guards against TWICE: the next owner took the runs of the former one for known by its own list of endpoints and the time since its own claim.
  Scenario Outline: A task doesn't run twice when its owner <change> and the next one <unknown>
    When the conversations of the seeds 13 to 16 are held, in which an owner <change> and the next one <unknown>
    Then no rule was broken

    Examples:
      | change                | unknown                        |
      | stands still          | has not listed an endpoint yet |
      | stands still          | has forgotten an endpoint      |
      | stands still          | does not reach an endpoint     |
      | stands still for long | has not listed an endpoint yet |
      | stands still for long | has forgotten an endpoint      |
      | stands still for long | does not reach an endpoint     |
      | leaves                | has not listed an endpoint yet |
      | leaves                | has forgotten an endpoint      |
      | leaves                | does not reach an endpoint     |

  # Guards against TWICE: the runs of an earlier life or term of an owner were not counted, or those of an owner that goes on while another has its cell.
  Scenario Outline: A task doesn't run twice when its owner <change> and another daemon, or its next term, <unknown>
    When the conversations of the seeds 5 to 8 are held, in which an owner <change> and the next one <unknown>
    Then no rule was broken

    Examples:
      | change                            | unknown                        |
      | restarts                          | has not listed an endpoint yet |
      | restarts                          | has forgotten an endpoint      |
      | restarts                          | does not reach an endpoint     |
      | restarts                          | finds an endpoint late         |
      | claims its cell anew              | has forgotten an endpoint      |
      | is cut off from the other daemons | has not listed an endpoint yet |
      | is cut off from the other daemons | has forgotten an endpoint      |
      | is cut off from the other daemons | does not reach an endpoint     |
      | is cut off from the other daemons | finds an endpoint late         |
      | is cut off from its neighbour     | has not listed an endpoint yet |
      | is cut off from its neighbour     | has forgotten an endpoint      |
      | is cut off from its neighbour     | does not reach an endpoint     |
      | is cut off from its neighbour     | finds an endpoint late         |
