Feature: Operators see what a request and a daemon did

  Scenario: Metrics, records and traces tell of the same request and job
    Given a traced fleet of 2 zones with 1 daemon and 1 endpoint each
    And an accepted document for "paysheet"
    When a caller sends a traced request to "paysheet" through daemon 1
    And a caller submits a job of 40 tasks for "paysheet" as "sheets-1" through daemon 1
    And a caller submits a job of 40 tasks for "paysheet" as "sheets-1" through daemon 2
    Then the record of the traced request on daemon 1 has the steps "accepted, slot-granted, sent, answered"
    And the record of "sheets-1" on daemon 1 counts 40 of the steps "sent"
    And the record of "sheets-1" on daemon 2 has the steps "accepted, claimed, forwarded"
    And the metric 'galenakeel_task_starts_total{service="paysheet"}' of daemon 1 is 41
    And the metric 'galenakeel_jobs_total{service="paysheet",outcome="complete"}' of daemon 1 is 1
    And the metric 'galenakeel_requests_total{service="paysheet",outcome="complete"}' of daemon 1 is 1
    And the metric 'galenakeel_claims_total{result="ours"}' of daemon 1 is 1
    And the endpoint of the traced request saw the caller's trace
    And the caller's trace has the spans "caller request, slot wait, endpoint exchange"

  Scenario: A refused request is counted by its fault and its record says why
    Given a fleet of 1 zone with 1 daemon and 1 endpoint each
    When a caller sends a request with the body "x" to "unknown" through daemon 1
    Then the metric 'galenakeel_refusals_total{fault="unknown-service"}' of daemon 1 is 1
    And the record of the last request on daemon 1 has the fault "unknown-service"

  Scenario: The level of the log changes at run time, and credentials are never logged
    Given a fleet of 1 zone with 1 daemon and 1 endpoint each
    When the log level of daemon 1 is set to "debug"
    And a caller with the credentials "hunter2" sends a request to "unknown" through daemon 1
    Then the log of daemon 1 has a line with the event "request-incomplete"
    And the log of daemon 1 does not contain "hunter2"
    And the log level "loud" is refused by daemon 1 with status 400
