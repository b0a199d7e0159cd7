Feature: A soak finds broken promises in what callers and endpoints saw

  Background:
    Given a soak with a job of the steps "a1, a2" and "b1" at daemon "north-0", sent at 100 and answered at 500 with 200 "complete"
    And the task "a1" ran from 110 to 200 and ended "done"
    And the task "a2" ran from 110 to 210 and ended "done"
    And the task "b1" ran from 220 to 400 and ended "done"

  Scenario: A job that ran in order keeps all promises
    Then the soak finds nothing

  Scenario: Two runs of a task at the same time
    Given the task "a1" ran from 190 to 300 and ended "stopped"
    Then the soak finds "twice"

  Scenario: Runs one after the other are allowed
    Given the task "a1" ran from 50 to 100 and ended "lapsed"
    Then the soak finds nothing

  Scenario: A run that has not ended lasts on
    Given the task "b1" ran from 215 on
    Then the soak finds "twice"

  Scenario: A call without a whole answer
    Given a job without tasks at daemon "north-1", sent at 100 and broken off at 300
    Then the soak finds "lost"

  Scenario: A call that broke off when its daemon was killed
    Given a job without tasks at daemon "north-1", sent at 100 and broken off at 300
    And the daemon "north-1" was disturbed from 250 to 900
    Then the soak finds nothing

  Scenario: A daemon that was told to leave breaks a call off that it has read
    Given a job without tasks at daemon "north-1", sent at 100 and broken off at 300
    And the daemon "north-1" was leaving from 50 to 900
    Then the soak finds "lost"

  Scenario: A daemon that was told to leave takes no new connection
    Given a job without tasks at daemon "north-1", sent at 100 and not connected at 101
    And the daemon "north-1" was leaving from 50 to 900
    Then the soak finds nothing

  Scenario: An undisturbed daemon takes no connection
    Given a job without tasks at daemon "north-1", sent at 100 and not connected at 101
    Then the soak finds "lost"

  Scenario: Another daemon's trouble is no reason to break a call off
    Given a job without tasks at daemon "north-1", sent at 100 and broken off at 300
    And the daemon "north-0" was disturbed from 250 to 900
    Then the soak finds "lost"

  Scenario: A refused job of which a task started
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with 503 ""
    And the task "c1" ran from 110 to 200 and ended "done"
    Then the soak finds "refused"

  Scenario: An answer that says complete too early
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with 200 "complete"
    And the task "c1" ran from 110 to 200 and ended "done"
    And the task "d1" ran from 210 to 300 and ended "failed"
    Then the soak finds "incomplete"

  Scenario: An answer that says complete before a task has ended
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with 200 "complete"
    And the task "c1" ran from 110 to 200 and ended "done"
    And the task "d1" ran from 210 to 501 and ended "done"
    Then the soak finds "incomplete"

  Scenario: A call that its caller broke off
    Given a job without tasks at daemon "north-1", sent at 100 and given up at 300
    Then the soak finds nothing

  Scenario Outline: A job that was rejected with <status> and of which a task started
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with <status> ""
    And the task "c1" ran from 110 to 200 and ended "stopped"
    Then the soak finds "refused"

    Examples:
      | status |
      | 404    |
      | 429    |
      | 503    |

  Scenario Outline: A job whose outcome the answer <status> leaves open
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with <status> ""
    And the task "c1" ran from 110 to 200 and ended "done"
    Then the soak finds nothing

    Examples:
      | status |
      | 502    |
      | 504    |

  Scenario: A job that got no connection and of which a task started
    Given a job of the task "c1" at daemon "north-1", sent at 100 and not connected at 101
    And the daemon "north-1" was disturbed from 50 to 900
    And the task "c1" ran from 110 to 200 and ended "done"
    Then the soak finds "refused"

  Scenario: An answer that says failed after one attempt
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with 200 "failed"
    And the task "c1" ran from 110 to 200 and ended "failed"
    Then the soak finds "falsely-failed"

  Scenario: A job that failed as often as it may
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with 200 "failed"
    And the task "c1" ran from 110 to 200 and ended "failed"
    And the task "c1" ran from 210 to 300 and ended "failed"
    Then the soak finds nothing

  Scenario: A step that begins too early
    Given a soak with a job of the steps "c1" and "d1" at daemon "north-0", sent at 100 and answered at 500 with 200 "complete"
    And the task "c1" ran from 110 to 200 and ended "done"
    And the task "d1" ran from 199 to 300 and ended "done"
    Then the soak finds "order"

  Scenario: A task that nobody asked for
    Given the task "z9" ran from 110 to 200 and ended "done"
    Then the soak finds "unasked"
