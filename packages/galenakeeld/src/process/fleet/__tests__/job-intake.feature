Feature: A path is said to be unknown only by a daemon whose configuration is the newest that it knows of

  Background:
    Given a daemon whose configuration has the path "/sheets/" and was confirmed 100 ms ago

  Scenario: A path that the newest configuration lacks is unknown
    Then a request for "/other/" is refused as "unknown-queue"

  # Guards against 404 for a queue that operators have added (CONFIG), by a daemon that has missed the version.
  Scenario: A path may be in a version that peers have told of
    Given a peer has told of a newer version
    Then a request for "/other/" is refused as "no-configuration"
    And a request for "/sheets/" is accepted

  Scenario: A path may be in a version that the store has not been asked for
    Given the configuration was confirmed 2600 ms ago
    Then a request for "/other/" is refused as "no-configuration"

  Scenario: A path may be that of a queue that can't be read
    Given a queue of the configuration can't be read
    Then a request for "/other/" is refused as "no-configuration"

  # Guards against UNASKED: a daemon acknowledged the cancel of a job that it held, and held it on.
  Scenario: A job that is held for its caller is cancelled
    When a job is held for a caller
    And the job is cancelled
    Then the cancel is acknowledged
    And the job ends as "withdrawn"

  Scenario: A job that has ended, or that another daemon holds, can't be cancelled
    When a job is held for a caller
    And the job completes
    And the job is cancelled
    Then the cancel is not acknowledged

  # A caller whose wait is over by this daemon's count may wait on, and may submit its job again.
  Scenario: A caller that is only taken to have left is not told that its job was cancelled
    When a job is held for a caller that disconnects
    Then the job ends with an unknown outcome

  # Guards against 504 for jobs that never ran: a daemon that is behind read them when their callers may have left.
  Scenario: A job that is read when its caller may have left is refused at once
    When a job is submitted for a caller that waits for 2000 ms and may have sent it 2300 ms ago
    Then the job is refused as "overloaded"
