package main

// wien are settings like those of the deployment wien-results: loads carry a key, and every engine drops a repeat for 12 s.
const wien = `{"balancers":2,"me":0,"tickMs":5,"zone":0,"zones":["wien-keller"],"machineTypes":["big-12","rest-12"],
 "bounds":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":250,"maxOpen":30000,"maxRetryAfterMs":500,"peers":false,"probes":false,"retryAfter":false,"sendCap":4,"mayDuplicate":false},
 "domain":{"sizeCores":[12,12],"kindMemoryMb":[24576,24576],"classThreads":[1,4,2],"writesTables":[false,false,true],"blockedByLoads":[false,false,false],"costInAnswers":false,"grantsCount":false,"lanesCount":false,"memoryShort":"overcommit","mostGrant":0.4,"progressMs":1000},
 "lanes":[{"name":"lookup","promiseMs":800,"aimStretch":2,"deadlineMs":4000,"repeat":"repeatable","gain":1,"lateWorth":0.1},
  {"name":"season-report","promiseMs":3000,"aimStretch":2.5,"deadlineMs":15000,"repeat":"repeatable","gain":10,"lateWorth":0.4},
  {"name":"result-load","promiseMs":4000,"aimStretch":2.5,"deadlineMs":20000,"repeat":"by_key","dedupScope":"all","repeatWindowMs":12000,"gain":8,"lateWorth":0.6}],
 "clientHabits":{"marksRetry":true},"registryMode":"push","report":{"via":"piggyback","fields":["queue","inflight","x0","x1"]},
 "rules":{"answerSlackMs":20,"coldFrom":0.31,"coldMs":14000,"drainGraceMs":2000,"fallMs":2000,"fallMultiple":3,"repeatRatio":0.1,"spareAttempts":2,"resendSpanMs":5000}}`

// dar are settings like those of the deployment dar-main: loads must never run twice.
const dar = `{"balancers":2,"me":0,"tickMs":5,"zone":0,"zones":["wien-keller"],"machineTypes":["std-16"],
 "bounds":{"cancel":true,"connIdleMs":15000,"connectTimeoutMs":250,"maxOpen":30000,"maxRetryAfterMs":2000,"mayDuplicate":true,"probes":true,"retryAfter":true,"sendCap":3},
 "domain":{"sizeCores":[16],"kindMemoryMb":[32768],"classThreads":[1,4,2],"writesTables":[false,false,true],"blockedByLoads":[false,false,false],"costInAnswers":true,"grantsCount":true,"lanesCount":true,"memoryShort":"line_up","mostGrant":0.4,"progressMs":0},
 "lanes":[{"name":"trip-lookup","promiseMs":500,"aimStretch":1.5,"deadlineMs":2500,"repeat":"repeatable","gain":1,"lateWorth":0.1},
  {"name":"ridership-report","promiseMs":1500,"aimStretch":2.5,"deadlineMs":20000,"repeat":"repeatable","gain":20,"lateWorth":0.4},
  {"name":"timetable-load","promiseMs":4000,"aimStretch":3,"deadlineMs":25000,"repeat":"once","gain":25,"lateWorth":0.6}],
 "prices":{"probe":0.01},"registryMode":"push","report":{"via":"pull","fields":["inflight","util","x1","x0"]},
 "rules":{"answerSlackMs":20,"coldFrom":0.33,"coldMs":15000,"drainGraceMs":1000,"fallMs":2000,"fallMultiple":3}}`
