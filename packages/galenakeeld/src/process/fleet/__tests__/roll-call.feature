Feature: The daemons of a zone find out quickly who is alive when one of them has to claim a cell

  Scenario: A roll call includes the peers that were reachable when it started, for a short time
    Given a zone with the peers "n1, n2"
    Then the roll call expects ""
    When the roll call starts
    And the peer "n3" becomes reachable
    Then the roll call expects "n1, n2"
    When 1600 ms pass after its start
    Then the roll call expects ""

  Scenario: A task that waits for a notification is woken, and one that isn't notified waits for a limited time
    Given a zone with the peers "n1"
    When a task waits for a notification for 500 ms, which comes after 20 ms
    Then it has waited for 20 ms
    When a task waits for a notification for 500 ms, which comes after 900 ms
    Then it has waited for 500 ms
