Feature: Connections between daemons that go silent in one direction

  Scenario: A job is answered although the owner receives nothing on its open connections any more
    Given 2 daemons of one zone whose connections can go silent
    When the connections to the owner of the zone go silent
    And a job of 2 tasks of 200 ms is submitted to the other daemon
    Then the job is complete within 5000 ms
