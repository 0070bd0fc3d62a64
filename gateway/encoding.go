package gateway

import "greengagedock.example/mesh"

// callKinds lists the kinds of calls that handle handles. Those that versions without such a
// list don't know are in the second part; they are sent only to entries that state them.
var callKinds = mesh.NewKinds([]string{callHeartbeat, callItems, callPlacement, callEvents}, []string{callLearned})

// All messages are encoded in a form that allows for more fields; see mesh.RegisterMessage.
// New fields follow the existing ones, and the numbers here never change: they are those of
// the versions that know no other form.
func init() {
	mesh.RegisterMessage[memberMessage](8)
	mesh.RegisterMessage[runningMessage](8)
	mesh.RegisterMessage[heartbeatMessage](9)
	mesh.RegisterMessage[noticeMessage](6)
	mesh.RegisterMessage[suspicionMessage](7)
	mesh.RegisterMessage[repeatMessage](6)
	mesh.RegisterMessage[repeatEndMessage](3)
	mesh.RegisterMessage[itemsMessage](1)
	mesh.RegisterMessage[itemMessage](5)
	mesh.RegisterMessage[itemsReply](4)
	mesh.RegisterMessage[placementMessage](14)
	mesh.RegisterMessage[placementReply](8)
	mesh.RegisterMessage[prefillWorkerMessage](3)
	mesh.RegisterMessage[eventsMessage](6)
	mesh.RegisterMessage[endMessage](2)
	mesh.RegisterMessage[faultMessage](3)
	mesh.RegisterMessage[keptMessage](2)
	mesh.RegisterMessage[emptyReply](0)
	mesh.RegisterMessage[loadMessage](0)
	mesh.RegisterMessage[unreachedMessage](0)
	mesh.RegisterMessage[learnedMessage](0)
	mesh.RegisterMessage[learnedServiceMessage](0)
	mesh.RegisterMessage[momentMessage](0)
	mesh.RegisterMessage[settledMessage](0)
	mesh.RegisterMessage[learnedServerMessage](0)
	mesh.RegisterMessage[unsettledMessage](0)
}
